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
package org.lupinpaddle.core.request;

/** An event in the lifecycle of a request. */
public sealed interface RequestEvent {

    /** The request has been received completely. */
    record Arrived() implements RequestEvent {}

    /** The attempt to acquire the claim has ended, with or without an answer of the store. */
    record ClaimCompleted(ClaimResult result) implements RequestEvent {}

    /** A slot has been granted on a worker. */
    record SlotGranted(long grant, String worker) implements RequestEvent {}

    /** No slot will be granted; a retry may succeed after {@code retryAfterMillis}, or never if 0. */
    record SlotRefused(GiveUpReason reason, long retryAfterMillis) implements RequestEvent {}

    /** The attempt with this number has ended. */
    record AttemptEnded(int attempt, AttemptOutcome outcome) implements RequestEvent {}

    /** The deadline has passed. */
    record DeadlinePassed() implements RequestEvent {}

    /** The caller has disconnected. */
    record CallerDisconnected() implements RequestEvent {}

    /** The result of an attempt to acquire a claim. */
    enum ClaimResult {
        /** This request holds the claim. */
        WON,
        /** Another request holds the claim. */
        HELD,
        /** The store was unavailable or its reply was lost; the claim may or may not be held. */
        UNKNOWN
    }
}
