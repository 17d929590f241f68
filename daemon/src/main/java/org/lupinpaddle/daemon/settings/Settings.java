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

import java.util.List;

/**
 * The settings of one entry, as checked.
 *
 * @param entry who this entry is
 * @param listen where it listens
 * @param platform where the platform is
 * @param operator what operators must show
 * @param limits what is refused beyond
 * @param timing periods and patience; all have defaults
 */
public record Settings(
        Entry entry, Listen listen, PlatformAddress platform, Operator operator, Limits limits, Timing timing) {

    /**
     * Who an entry is.
     *
     * @param id its name, unique among all entries
     * @param hall its data hall
     * @param region the region of the data hall
     * @param seeds peer addresses of other entries, asked while the platform is away; may be empty
     */
    public record Entry(String id, String hall, String region, List<String> seeds) {}

    /**
     * Where an entry listens, each as IP:PORT; port 0 lets the system choose.
     *
     * @param caller for callers
     * @param operator for operators
     * @param peer for other entries
     */
    public record Listen(String caller, String operator, String peer) {}

    /**
     * Where the platform is.
     *
     * @param address IP:PORT of the store and of the instance list
     */
    public record PlatformAddress(String address) {}

    /**
     * What operators must show.
     *
     * @param token the bearer token; never logged
     */
    public record Operator(String token) {
        @Override
        public String toString() {
            return "Operator[token=hidden]";
        }
    }

    /**
     * What is refused beyond.
     *
     * @param bodyBytes largest body of a request
     * @param answerBytes largest answer of a worker
     * @param headerBytes largest header of a request
     * @param connections most connections of callers
     * @param waiting most requests of one service that wait for a slot
     * @param open most requests that this entry holds at once
     */
    public record Limits(int bodyBytes, int answerBytes, int headerBytes, int connections, int waiting, int open) {}

    /**
     * Periods and patience, in milliseconds.
     *
     * @param pollMillis between two reads of the configuration as a backstop of the watch
     * @param heartbeatMillis between two heartbeats to an entry of the same region
     * @param leaseSeconds time to live of the entry's lease, in seconds
     * @param holdMillis how long a slot stays held for a worker that goes on after its caller was answered
     * @param stopMillis how long a planned stop waits for requests in progress
     * @param returnMillis how long an instance may take to come back from its reboot
     */
    public record Timing(
            long pollMillis,
            long heartbeatMillis,
            long leaseSeconds,
            long holdMillis,
            long stopMillis,
            long returnMillis) {}
}
