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
package org.lupinpaddle.core.slot;

import java.util.List;
import java.util.Set;
import org.lupinpaddle.core.common.Urgency;
import org.lupinpaddle.core.request.AttemptOutcome;
import org.lupinpaddle.core.request.GiveUpReason;

/** A message between an entry and the owner of a service's slots. Times are durations, never clock times. */
public sealed interface SlotMessage {

    /** Returns the service that owns the slots. */
    String service();

    /**
     * An entry asks for one slot.
     *
     * @param service the service
     * @param ask the entry's number of the ask
     * @param urgency the class of work
     * @param waitedMillis how long the request has waited
     * @param remainingMillis the time until its deadline
     * @param hall the entry's data hall, which is preferred for the worker
     * @param avoid workers to avoid if there is another
     * @param memoryMb the declared memory, in megabytes
     */
    record Ask(
            String service,
            long ask,
            Urgency urgency,
            long waitedMillis,
            long remainingMillis,
            String hall,
            Set<String> avoid,
            int memoryMb)
            implements SlotMessage {}

    /** An entry cancels its ask. */
    record Cancel(String service, long ask) implements SlotMessage {}

    /** An entry releases a grant and reports the outcome seen from the worker. */
    record Release(String service, long grant, String worker, AttemptOutcome outcome) implements SlotMessage {}

    /** An entry reports the grants of an earlier owner that it still uses. */
    record InUse(String service, List<Grant> grants) implements SlotMessage {}

    /** The owner has queued the ask. */
    record Queued(String service, long ask) implements SlotMessage {}

    /** The owner grants a slot. */
    record Granted(String service, long ask, Grant grant) implements SlotMessage {}

    /** The owner will not grant a slot. */
    record Refused(String service, long ask, GiveUpReason reason, long retryAfterMillis) implements SlotMessage {}

    /**
     * Permission to send one request to a worker.
     *
     * @param id unique among all owners
     * @param worker the worker
     */
    record Grant(long id, String worker) {}

    /**
     * A message with its recipient.
     *
     * @param to the id of the receiving entry
     * @param message the message
     */
    record Outgoing(String to, SlotMessage message) {}
}
