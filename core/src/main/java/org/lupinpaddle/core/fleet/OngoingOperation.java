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

    // A move or an upkeep takes about 2 s.
    private static final long MAX_BUSY_MILLIS = 5_000;

    final String instance;
    final InstanceOperation operation;
    final String service;
    final String worker;
    /** The data hall of the instance. */
    final String hall;
    /** Whether a hall was cordoned when the operation began. */
    final boolean begunDuringCordon;

    final long begunAt;
    Phase phase;
    /** Whether a predecessor began the operation. Its orders and their outcomes are not known. */
    boolean resumed;

    boolean orderInFlight;
    /** Whether an order got no answer: it may still be carried out, whatever later orders are answered. */
    boolean orderUnanswered;

    long orderDueAt;
    long acceptedAt;
    /** When the platform first refused the order because the instance was busy. */
    private long firstRefusedAt = Long.MAX_VALUE;

    /**
     * Creates an operation that has not been ordered yet.
     *
     * @param i the instance
     * @param service the service whose pool the instance leaves
     * @param worker the worker to evacuate, or empty for none
     */
    OngoingOperation(
            PlatformInstance i,
            InstanceOperation operation,
            String service,
            String worker,
            boolean begunDuringCordon,
            long now) {
        this.instance = i.id();
        this.operation = operation;
        this.service = service;
        this.worker = worker;
        this.hall = i.hall();
        this.begunDuringCordon = begunDuringCordon;
        this.begunAt = now;
        this.phase = worker.isEmpty() ? Phase.ORDERING : Phase.EVACUATING;
        this.orderDueAt = now;
    }

    /** Records that the platform refused the order because the instance was busy. */
    void refused(long now) {
        firstRefusedAt = Math.min(firstRefusedAt, now);
    }

    /**
     * Returns whether the platform has refused a move for longer than an instance is busy with another operation. An
     * order without an answer may still be carried out, so the operation then goes on.
     */
    boolean isRefusedForGood(long now) {
        return isMove()
                && !orderInFlight
                && !orderUnanswered
                && firstRefusedAt != Long.MAX_VALUE
                && now - firstRefusedAt > MAX_BUSY_MILLIS;
    }

    boolean isMove() {
        return operation.kind() == InstanceOperation.Kind.MOVE;
    }

    boolean isMoveTo(String pool) {
        return isMove() && operation.target().equals(pool);
    }

    /** Returns whether an order of this operation, by this owner or a predecessor, may have been carried out unnoticed. */
    boolean mayBeOrderedUnnoticed() {
        return orderUnanswered || resumed;
    }

    /** Returns whether an order of this operation has been accepted, or may still be carried out. */
    boolean mayBeOrdered() {
        return phase == Phase.AWAITING_COMPLETION || orderInFlight || orderUnanswered;
    }
}
