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
 * The properties that a worker reports in the platform's store.
 *
 * @param id the worker's id, which may stay the same across a restart
 * @param startMillis when this incarnation started, see {@link WorkerIncarnation}
 * @param service the service whose pool it belongs to
 * @param address IP address and port
 * @param hall the data hall of the worker
 * @param draining whether it is about to end and accepts no new work
 * @param remainingMillis the minimum time until it ends while draining; 0 if not reported
 * @param capacity its total resources
 * @param labels its kind and its rack
 * @param coldMillis how long the worker stays slow because it is cold, in milliseconds from when its owner
 *     first sees this value; 0 if it is warm
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
        List<String> labels,
        long coldMillis) {

    /** Creates the properties of a warm worker. */
    public WorkerFacts(
            String id,
            long startMillis,
            String service,
            String address,
            String hall,
            boolean draining,
            long remainingMillis,
            Resources capacity,
            List<String> labels) {
        this(id, startMillis, service, address, hall, draining, remainingMillis, capacity, labels, 0);
    }

    /** Creates the properties of a warm worker that does not report its start time. */
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

    /** Returns the incarnation that these properties belong to. */
    public WorkerIncarnation incarnation() {
        return new WorkerIncarnation(id, startMillis);
    }

    /** Returns whether the worker has the label. Every worker has the empty label. */
    public boolean hasLabel(String label) {
        return label.isEmpty() || labels.contains(label);
    }

    /**
     * Returns an identifier of the worker's rack. It consists of the hall and all labels, because the platform
     * does not say which label is the rack.
     */
    public String failureDomain() {
        return hall + "/" + String.join("/", labels);
    }
}
