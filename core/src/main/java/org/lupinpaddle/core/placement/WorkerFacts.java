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
package org.lupinpaddle.core.placement;

import java.util.List;

/**
 * What a worker says of itself in the platform's store.
 *
 * @param id names the worker; a restart may keep it
 * @param startMillis when this life started, see {@link WorkerIncarnation}
 * @param service the service whose pool it belongs to
 * @param address IP and port
 * @param hall the data hall it stands in
 * @param draining whether it is about to end and takes no new work
 * @param remainingMillis the least time until it ends, while it drains; 0 where it did not say
 * @param capacity what it offers in all
 * @param labels its kind and its rack
 */
public record WorkerFacts(
        String id,
        long startMillis,
        String service,
        String address,
        String hall,
        boolean draining,
        long remainingMillis,
        Resources capacity,
        List<String> labels) {

    /** Makes the facts of a worker that does not state its birth. */
    public WorkerFacts(
            String id,
            String service,
            String address,
            String hall,
            boolean draining,
            long remainingMillis,
            Resources capacity,
            List<String> labels) {
        this(id, WorkerIncarnation.UNKNOWN_START, service, address, hall, draining, remainingMillis, capacity, labels);
    }

    /** Returns which life of the worker these facts are of. */
    public WorkerIncarnation incarnation() {
        return new WorkerIncarnation(id, startMillis);
    }

    /** Returns whether the worker has the label; every worker has the empty one. */
    public boolean hasLabel(String label) {
        return label.isEmpty() || labels.contains(label);
    }

    /** Returns what tells its rack from others: the hall and all labels, for which label is the rack is not said. */
    public String failureDomain() {
        return hall + "/" + String.join("/", labels);
    }
}
