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
package org.lupinpaddle.core.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class CancelledIdTest {

    /** Guards against names of workspaces that change the meaning of the mark. */
    @Test
    void keepsNamesWithAnyCharacters() {
        CancelledId mark = CancelledId.by("a/b").andBy("ä,\n\"").andBy(null).andBy("a/b");
        assertEquals(3, mark.callers().size());
        assertEquals(Optional.of(mark), CancelledId.parse(mark.text()));
    }

    @Test
    void appliesToTheWorkspacesThatCancelledIt() {
        CancelledId mark = CancelledId.by("news").andBy("archive");
        assertTrue(mark.appliesTo("news"));
        assertFalse(mark.appliesTo("promos"));
        assertTrue(mark.appliesTo(null), "a caller without a workspace may access all jobs");
        assertTrue(CancelledId.by(null).appliesTo("news"));
    }

    /** Guards against taking the location of a job for a mark. */
    @Test
    void isNotReadFromTheNameOfAService() {
        List.of("clips", "cancelled", "").forEach(name -> assertEquals(Optional.empty(), CancelledId.parse(name)));
    }

    /** Guards against a damaged mark that lets a cancelled job be stored. */
    @Test
    void appliesToAllIfUnreadable() {
        List.of("/cancelled", "/cancelled/*", "/cancelled/x/%")
                .forEach(
                        text -> assertTrue(CancelledId.parse(text).orElseThrow().appliesTo("news"), text));
    }
}
