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
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class JobSettingsTest {

    private static final String GOOD = """
            [entry]
            name = "entry-1"
            hall = "north"
            [listen]
            callers = "10.1.0.9:8624"
            ready = "10.1.0.9:8622"
            metrics = "10.1.0.9:9464"
            [platform]
            store = "10.2.0.7:8621"
            instances = "10.2.0.8:8621"
            advice = "10.2.0.9:8621"
            [bounds]
            longest_hold_millis = 10000
            stop_millis = 399.5
            grace_seconds = 6
            owner_lease_millis = 3000
            upkeep_seconds = 1.5
            fenced_instances = false
            """;

    private static JobSettings with(String lines) throws SettingsException {
        return JobSettings.parse("my.toml", GOOD.replace("[listen]", lines + "\n[listen]"));
    }

    private static JobSettings.Bounds withBound(String line) throws SettingsException {
        return JobSettings.parse("my.toml", GOOD + line).bounds();
    }

    @Nested
    class GoodSettings {

        @Test
        void areRead() throws SettingsException {
            JobSettings s = JobSettings.parse("f", GOOD);
            assertEquals("entry-1", s.entry().name());
            assertEquals(1_500, s.bounds().upkeepMillis());
            assertEquals(400, s.bounds().stopMillis(), "rounded up: the bound is kept to");
        }

        @Test
        void tellWhatTheEntryCanDo() throws SettingsException {
            assertEquals(1_500, with("cpu_share = 0.75\ncpu_speed = 2").entry().capacity());
        }

        @Test
        void mayLeaveOutWhatTheEntryCanDo() throws SettingsException {
            assertEquals(1_000, JobSettings.parse("f", GOOD).entry().capacity());
        }

        /** Guards against cordons that are not read, or a deployment without cordons that reads some. */
        @Test
        void mayStateTheBoundOfCordonsAndAllHalls() throws SettingsException {
            Set<String> halls = Set.of("north", "south");
            assertEquals(halls, with("halls = [\"north\", \"south\"]").entry().halls());
            assertEquals(5_000, withBound("cordon_millis = 5000").cordonMillis());
            assertEquals(2_000, withBound("cordon_millis = 1999.5").cordonMillis());
            assertEquals(0, withBound("cordon_millis = 0").cordonMillis());
            JobSettings none = JobSettings.parse("f", GOOD);
            assertEquals(Set.of(), none.entry().halls());
            assertEquals(0, none.bounds().cordonMillis());
        }

        @Test
        void mayLeaveOutHowLongAStopTakes() throws SettingsException {
            JobSettings s = JobSettings.parse("f", GOOD.replace("stop_millis = 399.5\n", ""));
            assertEquals(1_000, s.bounds().stopMillis());
        }
    }

    @Nested
    class BadSettings {

        @ParameterizedTest
        @ValueSource(strings = {"cpu_share = 0", "cpu_share = -0.5", "cpu_share = \"half\"", "cpu_speed = false"})
        void ofWhatTheEntryCanDoNameTheKey(String line) {
            SettingsException e = assertThrows(SettingsException.class, () -> with(line));
            assertTrue(String.valueOf(e.getMessage()).contains("entry.cpu_s"), e.getMessage());
        }

        /** Guards against a bound that no watch can keep, or that is taken for no cordons at all. */
        @ParameterizedTest
        @ValueSource(strings = {"-1", "1", "1999", "1e12", "nan", "inf", "true", "\"5 s\"", "[5000]"})
        void ofTheBoundOfCordonsNameTheKey(String value) {
            SettingsException e = assertThrows(SettingsException.class, () -> withBound("cordon_millis = " + value));
            assertTrue(String.valueOf(e.getMessage()).contains("bounds.cordon_millis"), e.getMessage());
        }

        /** Guards against halls that are left out: a cordon of such a hall would be taken for a mistyped one. */
        @ParameterizedTest
        @ValueSource(strings = {"\"north\"", "[\"north\", 5]", "[\"\"]", "[\"North Hall\"]", "[[\"north\"]]", "true"})
        void ofTheHallsNameTheKey(String value) {
            SettingsException e = assertThrows(SettingsException.class, () -> with("halls = " + value));
            assertTrue(String.valueOf(e.getMessage()).contains("entry.halls"), e.getMessage());
        }

        @ParameterizedTest
        @CsvSource({
            "metrics = \"10.1.0.9:9464\", metrics = 9464, listen.metrics",
            "hall = \"north\", hall = 5, entry.hall",
            "grace_seconds = 6, grace_seconds = \"six\", bounds.grace_seconds",
            "fenced_instances = false, fenced_instances = 0, bounds.fenced_instances",
            "stop_millis = 399.5, stop_millis = -1, bounds.stop_millis",
            "stop_millis = 399.5, stop_millis = true, bounds.stop_millis",
            "upkeep_seconds = 1.5, upkeep_seconds = \"soon\", bounds.upkeep_seconds",
            "store = \"10.2.0.7:8621\", store = \"nowhere\", platform.store",
            "metrics = \"10.1.0.9:9464\", metrics = 9464, listen.metrics",
            "hall = \"north\", hal = \"north\", entry.hall"
        })
        void nameTheFileAndTheKey(String good, String bad, String key) {
            String text = GOOD.replace(good, bad);
            SettingsException e = assertThrows(SettingsException.class, () -> JobSettings.parse("my.toml", text));
            assertTrue(String.valueOf(e.getMessage()).contains(key), e.getMessage());
            assertTrue(String.valueOf(e.getMessage()).contains("my.toml"), e.getMessage());
        }
    }
}
