/*
 * Copyright 2026 The lupinpaddle authors
 *
 * Licensed under the Apache License, Version 2.0 (the "License");
 * you may not use this file except in compliance with the License.
 * You may obtain a copy of the License at
 *
 *      http://www.apache.org/licenses/LICENSE-2.0
 *
 * Unless required by applicable law or agreed to in writing, software
 * distributed under the License is distributed on an "AS IS" BASIS,
 * WITHOUT WARRANTIES OR CONDITIONS OF ANY KIND, either express or implied.
 * See the License for the specific language governing permissions and
 * limitations under the License.
 */
package org.lupinpaddle.daemon.common;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** How a line is written, so that it can be taken apart again. */
class LogTest {

    @Test
    void aLineHasItsFieldsInTheGivenOrder() {
        assertEquals("event=won duty=clips fence=7", Log.line("won", "duty", "clips", "fence", 7));
    }

    @Test
    void anEmptyValueIsSeen() {
        assertEquals("event=x a=\"\" b=1", Log.line("x", "a", "", "b", 1));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "a b|\"a b\"",
                "a=b|\"a=b\"",
                "a\"b|\"a\\\"b\"",
                "a\\b|a\\b",
                "a\\ b|\"a\\\\ b\"",
                "é-1.2/3|é-1.2/3"
            })
    void whatWouldBreakALineApartIsQuoted(String value, String written) {
        assertEquals("event=x v=" + written, Log.line("x", "v", value));
    }

    @Test
    void linesAreNotBroken() {
        assertEquals("event=x v=\"a\\nb\\rc\"", Log.line("x", "v", "a\nb\rc"));
    }
}
