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
package org.lupinpaddle.daemon.jobs;

import io.vavr.control.Either;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lupinpaddle.core.common.Unreadable;
import org.lupinpaddle.core.cordon.Cordon;
import org.lupinpaddle.daemon.port.PlatformRecords;
import org.lupinpaddle.daemon.port.StoreItem;

/** Reads the operators' cordons of data halls from items of the store. */
final class CordonRecords {

    private final PlatformRecords records;
    private final Set<String> halls;

    /**
     * Creates a reader.
     *
     * @param halls all data halls of the deployment; empty if not known
     */
    CordonRecords(PlatformRecords records, Set<String> halls) {
        this.records = records;
        this.halls = Set.copyOf(halls);
    }

    /** Returns the key prefix of cordons. */
    String prefix() {
        return records.cordonPrefix();
    }

    /** Returns all data halls of the deployment; empty if not known. */
    Set<String> halls() {
        return halls;
    }

    /** Returns whether the item is stored under the prefix of cordons. */
    boolean isCordon(StoreItem i) {
        return i.key().startsWith(prefix());
    }

    /** Returns the cordon that an item requests by its key, or why the key names no hall of the deployment. */
    Either<Unreadable, Cordon> cordon(StoreItem i) {
        return records.cordon(i)
                .flatMap(c -> halls.isEmpty() || halls.contains(c.hall())
                        ? Either.right(c)
                        : Either.left(Unreadable.Reason.UNKNOWN_WORD.in("hall")));
    }

    /** Returns what is wrong with the key or the value of an item; empty if nothing is. */
    Optional<Unreadable> fault(StoreItem i) {
        return cordon(i).fold(Optional::of, c -> records.cordonValueFault(i));
    }

    /** Returns the cordons that the items request, by hall; a cordon is in force even if its value is unreadable. */
    Map<String, Cordon> inForce(Collection<StoreItem> items) {
        Map<String, Cordon> byHall = new HashMap<>();
        items.stream().filter(this::isCordon).forEach(i -> cordon(i).peek(c -> byHall.put(c.hall(), c)));
        return byHall;
    }
}
