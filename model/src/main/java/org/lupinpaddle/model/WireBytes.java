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
package org.lupinpaddle.model;

import java.util.Collection;
import org.lupinpaddle.core.fleet.PlatformInstance;
import org.lupinpaddle.core.run.HoldResponse;
import org.lupinpaddle.core.run.StartOrder;
import org.lupinpaddle.daemon.port.CommitResult;
import org.lupinpaddle.daemon.port.HoldResult;
import org.lupinpaddle.daemon.port.StoreChanges;
import org.lupinpaddle.daemon.port.StoreCommit;
import org.lupinpaddle.daemon.port.StoreItem;

/** Estimates the size of calls and answers on the network. */
final class WireBytes {

    /** The size of a message without its items: the HTTP headers and the framing of the layers below. */
    static final long OVERHEAD_BYTES = 250;

    // The JSON member names, the two revisions and the lease of an item.
    private static final long ITEM_BYTES = 75;
    // An instance with its resources and labels.
    private static final long INSTANCE_BYTES = 220;
    // A run in an order or an answer.
    private static final long RUN_BYTES = 45;
    private static final long BASE64_GROUP_BYTES = 3;
    private static final long BASE64_GROUP_CHARS = 4;

    private WireBytes() {}

    static long of(StoreItem i) {
        return itemBytes(i.key(), i.value());
    }

    static long of(Collection<StoreItem> items) {
        return OVERHEAD_BYTES + items.stream().mapToLong(WireBytes::of).sum();
    }

    static long of(StoreChanges c) {
        return OVERHEAD_BYTES
                + c.changes().stream()
                        .mapToLong(e -> e.item() == null ? itemBytes(e.key(), "") : of(e.item()))
                        .sum();
    }

    static long of(StoreCommit c) {
        return OVERHEAD_BYTES
                + c.conditions().stream().mapToLong(w -> itemBytes(w.key(), "")).sum()
                + c.puts().stream()
                        .mapToLong(p -> itemBytes(p.key(), p.value()))
                        .sum()
                + c.removals().stream().mapToLong(k -> itemBytes(k, "")).sum();
    }

    static long of(CommitResult r) {
        return of(r.current());
    }

    static long ofInstances(Collection<PlatformInstance> all) {
        return OVERHEAD_BYTES + INSTANCE_BYTES * all.size();
    }

    static long of(StartOrder o) {
        return OVERHEAD_BYTES + RUN_BYTES + o.text().length();
    }

    static long of(HoldResult r) {
        HoldResponse a = r.answer();
        return OVERHEAD_BYTES
                + (a == null ? 0 : RUN_BYTES * (a.running().size() + a.ended().size()));
    }

    private static long itemBytes(String key, String value) {
        return ITEM_BYTES
                + key.length()
                + (value.length() + BASE64_GROUP_BYTES - 1) / BASE64_GROUP_BYTES * BASE64_GROUP_CHARS;
    }
}
