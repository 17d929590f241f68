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

/**
 * The keys of the platform's store. Configuration records share one prefix, so that one range read above a
 * revision returns everything that has changed since. They are never deleted, only marked as retired, because
 * a range read above a revision does not show deletions.
 */
public final class StoreKeys {

    /** Prefix of all configuration records. */
    public static final String CONFIG = "lupinpaddle/config/";
    /** Prefix of the registrations of entries; each is bound to the entry's lease. */
    public static final String ENTRIES = "lupinpaddle/entry/";

    private static final String SERVICES = CONFIG + "service/";
    private static final String POOLS = CONFIG + "pool/";
    private static final String SHARDS = CONFIG + "shard/";
    private static final String WAVES = CONFIG + "wave/";
    private static final String DRIVERS = "lupinpaddle/driver/";
    private static final String CLAIMS = "lupinpaddle/claim/";

    // At 1,100 instances a shard holds about 34: a change rewrites some dozens of instances instead of the fleet.
    private static final int SHARD_COUNT = 32;

    private StoreKeys() {}

    /** Returns the key of a service. */
    public static String service(String name) {
        return SERVICES + name;
    }

    /** Returns the key of a pool. */
    public static String pool(String name) {
        return POOLS + name;
    }

    /** Returns the key of a wave. */
    public static String wave(String name) {
        return WAVES + name;
    }

    /** Returns the key of the shard that holds the instance with this id. */
    public static String shardOf(String instance) {
        return SHARDS + String.format("%02d", RendezvousHash.bucket(instance, SHARD_COUNT));
    }

    /** Returns the key that an entry holds, bound to its lease, while it drives a wave. */
    public static String driver(String wave) {
        return DRIVERS + wave;
    }

    /** Returns the key of an entry's registration. */
    public static String entry(String id) {
        return ENTRIES + id;
    }

    /** Returns the key of the claim on an unsafe job. */
    public static String claim(String service, String jobId) {
        return CLAIMS + service + "/" + jobId;
    }

    /** Returns whether the key belongs to a service. */
    public static boolean isService(String key) {
        return key.startsWith(SERVICES);
    }

    /** Returns whether the key belongs to a pool. */
    public static boolean isPool(String key) {
        return key.startsWith(POOLS);
    }

    /** Returns whether the key belongs to a shard of instances. */
    public static boolean isShard(String key) {
        return key.startsWith(SHARDS);
    }

    /** Returns whether the key belongs to a wave. */
    public static boolean isWave(String key) {
        return key.startsWith(WAVES);
    }
}
