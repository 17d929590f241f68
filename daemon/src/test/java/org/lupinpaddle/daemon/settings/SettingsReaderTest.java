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
package org.lupinpaddle.daemon.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SettingsReaderTest {

    private static final long HEAP = 48L << 20;

    private static final String GOOD = """
            [entry]
            id = "north-1"
            hall = "north"
            region = "valley"
            [listen]
            caller = "127.0.0.1:0"
            operator = "127.0.0.1:0"
            peer = "127.0.0.1:0"
            [platform]
            address = "127.0.0.1:2379"
            [operator]
            token = "sixteen-characters"
            [limits]
            body_bytes = 4096
            answer_bytes = 4096
            header_bytes = 8192
            connections = 400
            waiting = 200
            open = 400
            """;

    private static String problem(String toml) {
        String message =
                String.valueOf(assertThrows(SettingsException.class, () -> SettingsReader.parse("x.toml", toml, HEAP))
                        .getMessage());
        assertFalse(message.contains("\n"), "one line");
        assertTrue(message.startsWith("x.toml: "), message);
        return message;
    }

    @Nested
    class Good {

        @Test
        void areReadWithTimingByDefault() throws SettingsException {
            Settings s = SettingsReader.parse("x.toml", GOOD, HEAP);
            assertEquals("north-1", s.entry().id());
            assertEquals(2_000, s.timing().pollMillis());
            assertFalse(s.toString().contains("sixteen"), "the token shows");
        }
    }

    @Nested
    class Wrong {

        @Test
        void unknownKeysAreNamedWithTheKnownOnes() {
            String p = problem(GOOD.replace("waiting", "wating"));
            assertTrue(p.contains("limits.waiting") && p.contains("missing"), p);
            String q = problem(GOOD + "more = 1\n");
            assertTrue(q.contains("limits.more") && q.contains("known keys"), q);
        }

        @Test
        void typesAreNamed() {
            assertTrue(problem(GOOD.replace("connections = 400", "connections = \"many\""))
                    .contains("limits.connections: has the wrong type"));
            assertTrue(problem(GOOD.replace("id = \"north-1\"", "id = 1")).contains("entry.id"));
        }

        @Test
        void addressesAreNamed() {
            assertTrue(problem(GOOD.replace("127.0.0.1:2379", "platform.example:2379"))
                    .contains("platform.address"));
            assertTrue(problem(GOOD.replace("127.0.0.1:2379", "127.0.0.1:0")).contains("platform.address"));
            assertTrue(problem(GOOD.replace("127.0.0.1:2379", "127.0.0.300:80")).contains("platform.address"));
        }

        @Test
        void limitsThatCanNotBeMetTogetherAreNamed() {
            String p = problem(GOOD.replace("answer_bytes = 4096", "answer_bytes = 1048576"));
            assertTrue(p.contains("limits.open: can not be met"), p);
        }

        @Test
        void textThatIsNotTomlIsNamedByItsLine() {
            assertTrue(problem("[entry\nid = 3").contains("is not TOML"));
        }

        @Test
        void aMissingFileIsNamed() {
            SettingsException e = assertThrows(
                    SettingsException.class, () -> SettingsReader.read(java.nio.file.Path.of("no-such.toml")));
            assertTrue(String.valueOf(e.getMessage()).contains("does not exist"));
        }
    }
}
