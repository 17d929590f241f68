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
package org.lupinpaddle.core.common;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Highest-random-weight hashing (Thaler and Ravishankar, 1998). All nodes with the same member list select the
 * same member for a key without communicating, and a member that leaves moves only its own keys.
 */
public final class RendezvousHash {

    // FNV-1a, 64 bits: offset basis and prime of the published algorithm.
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private RendezvousHash() {}

    /** Returns the members ordered by their weight for {@code key}, the owner first. */
    public static List<String> rank(String key, Collection<String> members) {
        return members.stream()
                .sorted(Comparator.<String>comparingLong(m -> -(weight(key, m) >>> 1))
                        .thenComparing(Comparator.naturalOrder()))
                .toList();
    }

    /** Returns a stable bucket from 0 to {@code buckets} - 1 for {@code key}. */
    public static int bucket(String key, int buckets) {
        return (int) Long.remainderUnsigned(mix(fnv(FNV_OFFSET, key)), buckets);
    }

    private static long weight(String key, String member) {
        return mix(fnv(fnv(fnv(FNV_OFFSET, key), "\u0000"), member));
    }

    private static long fnv(long seed, String s) {
        long h = seed;
        for (byte b : s.getBytes(StandardCharsets.UTF_8)) {
            h = (h ^ (b & 0xff)) * FNV_PRIME;
        }
        return h;
    }

    // Finalizer of MurmurHash3: FNV alone leaves the high bits of short keys nearly equal.
    private static long mix(long x) {
        long h = x;
        h = (h ^ (h >>> 33)) * 0xff51afd7ed558ccdL;
        h = (h ^ (h >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return h ^ (h >>> 33);
    }
}
