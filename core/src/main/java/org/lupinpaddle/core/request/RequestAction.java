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

/** What the entry is to do for a request. */
public sealed interface RequestAction {

    /** Take the claim on the job in the store. */
    record AcquireClaim() implements RequestAction {}

    /** Mark our claim as not run, since nothing was sent and nothing will be. */
    record MarkClaimNotRun() implements RequestAction {}

    /** Ask for a slot, on none of these workers if there is another. */
    record RequestSlot(Set<String> excludedWorkers) implements RequestAction {}

    /** Take back the ask for a slot. */
    record CancelSlotRequest() implements RequestAction {}

    /** Send the request to the worker. */
    record Send(int attempt, String worker) implements RequestAction {}

    /** Give the grant back with what was seen of the worker. */
    record ReleaseSlot(long grant, String worker, AttemptOutcome outcome) implements RequestAction {}

    /** Pass the worker's answer to this attempt on to the caller. */
    record ForwardResponse(int attempt) implements RequestAction {}

    /** Answer the caller at once; coming back can help after {@code retryAfterMillis}, or not at all if 0. */
    record GiveUp(Verdict verdict, GiveUpReason reason, long retryAfterMillis) implements RequestAction {}
}
