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

import java.nio.file.Path;
import java.util.Set;
import org.lupinpaddle.core.ownership.OwnerRank;

/**
 * Settings of an entry that schedules jobs on a platform.
 *
 * @param entry who the entry is
 * @param listen where it listens
 * @param platform where the platform's parts are
 * @param bounds what the platform holds the entry to
 */
public record JobSettings(Entry entry, Listen listen, PlatformParts platform, Bounds bounds, Operator operator) {

    // The smallest and the largest share of a processor that an entry may be given, in thousandths of a core.
    private static final long LEAST_CAPACITY = 10;
    private static final long MOST_CAPACITY = 1_024_000;
    // Where the platform does not say: the longest that one has asked for, rounded up.
    private static final long STOP_MILLIS = 1_000;
    private static final long MOST_MILLIS = 86_400_000;
    // Of the bound, 1,200 ms are reserved for a start's call. Within the rest the watch of the cordons must be answered
    // twice; a smaller bound would take more than four calls a second at every entry.
    private static final long LEAST_CORDON_MILLIS = 2_000;

    /**
     * Who the entry is.
     *
     * @param name its name, unlike all others
     * @param hall the data hall it stands in
     * @param capacity how much it can do, in thousandths of a core
     * @param halls all data halls of the deployment; empty if not known
     */
    public record Entry(String name, String hall, long capacity, Set<String> halls) {}

    /**
     * Where the entry listens, each as IP and port.
     *
     * @param callers for callers
     * @param ready for the balancer that asks whether callers may come
     * @param metrics for what collects figures
     */
    public record Listen(String callers, String ready, String metrics) {}

    /**
     * Where the platform's parts are, each as IP and port.
     *
     * @param store the key-value store
     * @param instances the list of instances, and orders on them
     * @param advice the service that says which workers may run a step
     */
    public record PlatformParts(String store, String instances, String advice) {}

    /**
     * What the platform holds the entry to.
     *
     * @param longestHoldMillis how far ahead a hold may reach
     * @param stopMillis how long a worker takes at most to end what it is told to stop
     * @param graceSeconds from SIGTERM until the process is killed
     * @param ownerLeaseMillis how long after an owner of the fleet its successor waits with its first order
     * @param upkeepMillis how long the platform takes for the upkeep of an instance
     * @param fencedInstances whether the platform checks fences of orders on instances
     * @param cordonMillis how long after a hall was cordoned tasks may still start there; 0 if the deployment has no
     *     cordons, else 2,000 or more
     */
    public record Bounds(
            long longestHoldMillis,
            long stopMillis,
            long graceSeconds,
            long ownerLeaseMillis,
            long upkeepMillis,
            boolean fencedInstances,
            long cordonMillis) {}

    /**
     * How operators ask. Without an address nothing listens for them.
     *
     * @param address IP and port; empty for none
     * @param token the bearer token that their tool must give
     */
    public record Operator(String address, String token) {

        /** Nothing listens for operators. */
        public static final Operator NONE = new Operator("", "");
    }

    /** An entry may be given a part of a core, of a core that is faster than one. */
    private static long capacity(TomlChecks t) throws SettingsException {
        double share = t.fraction("entry.cpu_share", 1);
        double speed = t.fraction("entry.cpu_speed", 1);
        return Math.max(
                LEAST_CAPACITY, Math.min(MOST_CAPACITY, Math.round(share * speed * OwnerRank.DEFAULT_CAPACITY)));
    }

    /** Returns the settings in a file, or says what is wrong with them. */
    public static JobSettings read(Path path) throws SettingsException {
        return parse(path.toString(), TomlChecks.load(path));
    }

    /** Returns the settings in a text; the file's name is for messages. */
    static JobSettings parse(String file, String text) throws SettingsException {
        TomlChecks t = TomlChecks.parse(file, text);
        JobSettings s = new JobSettings(
                new Entry(t.name("entry.name"), t.name("entry.hall"), capacity(t), t.names("entry.halls")),
                new Listen(
                        t.address("listen.callers", true),
                        t.address("listen.ready", true),
                        t.address("listen.metrics", true)),
                new PlatformParts(
                        t.address("platform.store", false),
                        t.address("platform.instances", false),
                        t.address("platform.advice", false)),
                new Bounds(
                        t.number("bounds.longest_hold_millis", 1_000, MOST_MILLIS),
                        t.millis("bounds.stop_millis", STOP_MILLIS),
                        t.number("bounds.grace_seconds", 1, 3_600),
                        t.number("bounds.owner_lease_millis", 0, MOST_MILLIS),
                        t.seconds("bounds.upkeep_seconds"),
                        t.flag("bounds.fenced_instances"),
                        t.millisOrZero("bounds.cordon_millis", LEAST_CORDON_MILLIS, MOST_MILLIS)),
                t.has("operator")
                        ? new Operator(t.address("operator.address", true), t.token("operator.token"))
                        : Operator.NONE);
        t.refuseUnknown();
        return s;
    }
}
