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
package org.lupinpaddle.core.ownership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.lupinpaddle.core.common.RendezvousHash;

/**
 * The order in which entries try for a duty that nobody owns: those that own least first, then by rendezvous
 * hashing. It only spreads the attempts; who owns the duty is decided by the store.
 */
public final class OwnerRank {

    private OwnerRank() {}

    /** Returns the place of an entry, from 0. */
    public static int of(String entry, String duty, Collection<String> entries, Map<String, Integer> owned) {
        List<String> hashed = RendezvousHash.rank(duty, entries);
        List<String> order = hashed.stream()
                .sorted(Comparator.comparingInt(e -> owned.getOrDefault(e, 0)))
                .toList();
        return Math.max(0, order.indexOf(entry));
    }
}
