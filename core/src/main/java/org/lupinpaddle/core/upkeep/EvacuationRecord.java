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
 * A request of the fleet's owner to the owner of a service to evacuate a worker. The answer is written into the
 * same record. The worker gets no new tasks while the record exists.
 *
 * @param worker the id of the worker to evacuate
 * @param instance the instance that it runs on
 * @param errand the operation that the evacuation is for, as written by
 *     {@link org.lupinpaddle.core.fleet.InstanceOperation#toString}
 * @param urgent whether jobs of another pool wait for the instance
 * @param empty whether the worker runs nothing and will not be given new tasks
 */
public record EvacuationRecord(String worker, String instance, String errand, boolean urgent, boolean empty) {

    /** Reads the record stored under the key of a worker, or returns what is wrong with the text. */
    public static Either<Unreadable, EvacuationRecord> read(String text, String workerOfKey) {
        return RecordCodec.read(text, EvacuationRecord.class)
                .flatMap(r -> r.worker.equals(workerOfKey)
                        ? Either.right(r)
                        : Either.left(Unreadable.Reason.NOT_OF_ITS_KEY.in("worker")));
    }

    /** Returns the answer that the worker is empty. */
    public EvacuationRecord asEmpty() {
        return new EvacuationRecord(worker, instance, errand, urgent, true);
    }
}
