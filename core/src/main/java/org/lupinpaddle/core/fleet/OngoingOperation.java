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

/** An operation in progress, from the decision to take out the instance until it is back. */
final class OngoingOperation {

    /** The phases of an operation. */
    enum Phase {
        /** The worker is being evacuated. */
        EVACUATING,
        /** The order is to be sent, or its outcome is pending. */
        ORDERING,
        /** The platform has accepted the order and is carrying it out. */
        AWAITING_COMPLETION
    }

    final String instance;
    final InstanceOperation operation;
    final String service;
    final String worker;
    final long begunAt;
    Phase phase;
    boolean orderInFlight;
    long orderDueAt;
    long acceptedAt;

    OngoingOperation(String instance, InstanceOperation operation, String service, String worker, long now) {
        this.instance = instance;
        this.operation = operation;
        this.service = service;
        this.worker = worker;
        this.begunAt = now;
        this.phase = worker.isEmpty() ? Phase.ORDERING : Phase.EVACUATING;
        this.orderDueAt = now;
    }

    boolean isMoveTo(String pool) {
        return operation.kind() == InstanceOperation.Kind.MOVE
                && operation.target().equals(pool);
    }
}
