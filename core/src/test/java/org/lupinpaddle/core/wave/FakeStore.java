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
package org.lupinpaddle.core.wave;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.lupinpaddle.core.common.RecordCodec;
import org.lupinpaddle.core.view.FleetView;
import org.lupinpaddle.core.view.StoredRecord;

/** A fake of the platform's store: compare-and-swap, and reads of all records written since a revision. */
final class FakeStore {

    private final Map<String, StoredRecord> records = new TreeMap<>();
    private long revision = 1;
    private long writes;

    boolean compareAndSwap(String key, Object value, long expected) {
        if (revisionOf(key) != expected) {
            return false;
        }
        put(key, value);
        return true;
    }

    /**
     * Writes unconditionally, which production code never does. Used for set-up and to show that the tests detect
     * lost updates.
     */
    void put(String key, Object value) {
        revision++;
        writes++;
        records.put(key, new StoredRecord(key, RecordCodec.write(value), revision));
    }

    long revisionOf(String key) {
        StoredRecord r = records.get(key);
        return r == null ? 0 : r.revision();
    }

    long writes() {
        return writes;
    }

    /** Applies all newer records to a view. */
    void sync(FleetView view) {
        List<StoredRecord> above = new ArrayList<>();
        long from = view.revision();
        records.values().stream().filter(r -> r.revision() > from).forEach(above::add);
        view.apply(above, from, revision);
    }

    FleetView view() {
        FleetView v = new FleetView();
        sync(v);
        return v;
    }
}
