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

/** How many bytes the store's calls and answers have on the way. */
final class WireBytes {

    /** What a call or an answer has besides its items: the lines of HTTP and of the channel below. */
    static final long FRAME = 250;

    // An item's member names, two revisions and its lease.
    private static final long ITEM = 75;
    // An instance with its room and its labels.
    private static final long INSTANCE = 220;
    // A run as an order or an answer names it.
    private static final long RUN = 45;
    private static final long BASE64_FROM = 3;
    private static final long BASE64_TO = 4;

    private WireBytes() {}

    static long of(StoreItem i) {
        return row(i.key(), i.value());
    }

    static long of(Collection<StoreItem> items) {
        return FRAME + items.stream().mapToLong(WireBytes::of).sum();
    }

    static long of(StoreChanges c) {
        return FRAME
                + c.changes().stream()
                        .mapToLong(e -> e.item() == null ? row(e.key(), "") : of(e.item()))
                        .sum();
    }

    static long of(StoreCommit c) {
        return FRAME
                + c.conditions().stream().mapToLong(w -> row(w.key(), "")).sum()
                + c.puts().stream().mapToLong(p -> row(p.key(), p.value())).sum()
                + c.removals().stream().mapToLong(k -> row(k, "")).sum();
    }

    static long of(CommitResult r) {
        return of(r.current());
    }

    static long ofInstances(Collection<PlatformInstance> all) {
        return FRAME + INSTANCE * all.size();
    }

    static long of(StartOrder o) {
        return FRAME + RUN + o.text().length();
    }

    static long of(HoldResult r) {
        HoldResponse a = r.answer();
        return FRAME + (a == null ? 0 : RUN * (a.running().size() + a.ended().size()));
    }

    private static long row(String key, String value) {
        return ITEM + key.length() + (value.length() + BASE64_FROM - 1) / BASE64_FROM * BASE64_TO;
    }
}
