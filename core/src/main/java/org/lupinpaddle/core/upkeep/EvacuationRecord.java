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
package org.lupinpaddle.core.upkeep;

import io.vavr.control.Either;
import org.lupinpaddle.core.common.RecordCodec;
import org.lupinpaddle.core.common.Unreadable;

/**
 * The fleet owner asks the owner of a service to empty a worker; the answer is written into the same record.
 * While the record exists the worker gets no new tasks.
 *
 * @param worker the life of a worker that is to be emptied
 * @param instance the instance it runs on
 * @param errand what it is to be emptied for, see {@link org.lupinpaddle.core.fleet.InstanceOperation}
 * @param urgent whether another pool's jobs wait for the instance
 * @param empty whether it carries nothing and will not be given anything
 */
public record EvacuationRecord(String worker, String instance, String errand, boolean urgent, boolean empty) {

    /** Returns the record that lies under the key of a worker, or what is wrong with the text. */
    public static Either<Unreadable, EvacuationRecord> read(String text, String workerOfKey) {
        return RecordCodec.read(text, EvacuationRecord.class)
                .flatMap(r -> r.worker.equals(workerOfKey)
                        ? Either.right(r)
                        : Either.left(Unreadable.Reason.NOT_OF_ITS_KEY.in("worker")));
    }

    /** Returns the answer: the worker is empty. */
    public EvacuationRecord asEmpty() {
        return new EvacuationRecord(worker, instance, errand, urgent, true);
    }
}
