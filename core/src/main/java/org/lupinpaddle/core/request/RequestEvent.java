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

/** What can happen to a request. */
public sealed interface RequestEvent {

    /** The request has come in whole. */
    record Arrived() implements RequestEvent {}

    /** The store has answered the claim, or could not be asked. */
    record ClaimCompleted(ClaimResult result) implements RequestEvent {}

    /** A slot has been granted on a worker. */
    record SlotGranted(long grant, String worker) implements RequestEvent {}

    /** No slot will be granted; coming back can help after {@code retryAfterMillis}, or not at all if 0. */
    record SlotRefused(GiveUpReason reason, long retryAfterMillis) implements RequestEvent {}

    /** The attempt with this number has ended. */
    record AttemptEnded(int attempt, AttemptOutcome outcome) implements RequestEvent {}

    /** The deadline has passed. */
    record DeadlinePassed() implements RequestEvent {}

    /** The caller has gone away. */
    record CallerDisconnected() implements RequestEvent {}

    /** What became of a claim. */
    enum ClaimResult {
        /** The claim is ours. */
        WON,
        /** Another try holds it. */
        HELD,
        /** The store is away or its reply was lost; nothing is known. */
        UNKNOWN
    }
}
