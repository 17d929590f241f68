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
package org.lupinpaddle.daemon.platform;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** Cuts a stream of bytes into lines of text, whatever pieces it comes in. */
final class LineReader {

    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final Consumer<String> onLine;

    LineReader(Consumer<String> onLine) {
        this.onLine = onLine;
    }

    void take(ByteBuffer bytes) {
        while (bytes.hasRemaining()) {
            byte b = bytes.get();
            if (b == '\n') {
                onLine.accept(line.toString(StandardCharsets.UTF_8));
                line.reset();
            } else {
                line.write(b);
            }
        }
    }
}
