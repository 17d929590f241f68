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

import java.util.Set;
import org.lupinpaddle.core.common.Verdict;

/** An action that the entry must perform for a request. */
public sealed interface RequestAction {

    /** Acquires the claim on the job in the store. */
    record AcquireClaim() implements RequestAction {}

    /** Marks this request's claim as not run, because nothing was sent to a worker or ever will be. */
    record MarkClaimNotRun() implements RequestAction {}

    /** Requests a slot, preferably on none of the excluded workers. */
    record RequestSlot(Set<String> excludedWorkers) implements RequestAction {}

    /** Cancels the open request for a slot. */
    record CancelSlotRequest() implements RequestAction {}

    /** Sends the request to the worker. */
    record Send(int attempt, String worker) implements RequestAction {}

    /** Releases the grant and reports the outcome of the attempt on the worker. */
    record ReleaseSlot(long grant, String worker, AttemptOutcome outcome) implements RequestAction {}

    /** Forwards the worker's response to this attempt to the caller. */
    record ForwardResponse(int attempt) implements RequestAction {}

    /** Answers the caller without a response; a retry may succeed after {@code retryAfterMillis}, or never if 0. */
    record GiveUp(Verdict verdict, GiveUpReason reason, long retryAfterMillis) implements RequestAction {}
}
