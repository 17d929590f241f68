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
package org.lupinpaddle.core.fleet;

/** One instance that is being taken out of its pool, from the wish until it is back. */
final class InstanceErrand {

    /** How far an errand is. */
    enum Phase {
        /** The worker's tasks are leaving. */
        EMPTYING,
        /** The order is to be given, or its answer is awaited. */
        ORDERING,
        /** The platform is at it. */
        AWAITING
    }

    final String instance;
    final Errand errand;
    final String service;
    final String worker;
    final long begunAt;
    Phase phase;
    boolean orderInFlight;
    long orderDueAt;
    long takenAt;

    InstanceErrand(String instance, Errand errand, String service, String worker, long now) {
        this.instance = instance;
        this.errand = errand;
        this.service = service;
        this.worker = worker;
        this.begunAt = now;
        this.phase = worker.isEmpty() ? Phase.ORDERING : Phase.EMPTYING;
        this.orderDueAt = now;
    }

    boolean isMoveTo(String pool) {
        return errand.kind() == Errand.Kind.MOVE && errand.target().equals(pool);
    }
}
