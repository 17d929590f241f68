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
package org.lupinpaddle.daemon.wave;

import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/** Records when each revision of the configuration was first confirmed by all entries. */
final class ConfirmedRevisions {

    private static final int MAX_ENTRIES = 1_000;

    private final TreeMap<Long, Long> firstConfirmedAt = new TreeMap<>();

    /** Records that at {@code now} every entry has at least {@code revision} in force. */
    void record(long revision, long now) {
        if (firstConfirmedAt.isEmpty() || revision > firstConfirmedAt.lastKey()) {
            firstConfirmedAt.put(revision, now);
        }
        if (firstConfirmedAt.size() > MAX_ENTRIES) {
            firstConfirmedAt.pollFirstEntry();
        }
    }

    /** Returns when all entries were first known to have at least this revision in force. */
    OptionalLong confirmedAt(long revision) {
        Map.Entry<Long, Long> entry = firstConfirmedAt.ceilingEntry(revision);
        return entry == null ? OptionalLong.empty() : OptionalLong.of(entry.getValue());
    }
}
