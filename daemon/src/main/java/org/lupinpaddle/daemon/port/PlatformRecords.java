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
package org.lupinpaddle.daemon.port;

import io.vavr.control.Either;
import java.util.Optional;
import org.lupinpaddle.core.common.Unreadable;
import org.lupinpaddle.core.cordon.Cordon;
import org.lupinpaddle.core.placement.WorkerFacts;
import org.lupinpaddle.core.queue.JobConfiguration;
import org.lupinpaddle.core.upkeep.UpkeepWave;

/** Locates and parses the records that operators and workers write to the store. */
public interface PlatformRecords {

    /** Returns the key of the operators' configuration. */
    String configurationKey();

    /** Returns the key prefix of the records that workers write about themselves. */
    String workerPrefix();

    /** Parses the configuration, or returns why it is unreadable. */
    Either<Unreadable, JobConfiguration> configuration(StoreItem item);

    /** Parses a worker's record, or returns why it is unreadable. */
    Either<Unreadable, WorkerFacts> worker(StoreItem item);

    /** Returns a key prefix of everything that operators write: the configuration, cordons and waves. */
    String operatorPrefix();

    /** Returns the key prefix of the cordons of data halls. */
    String cordonPrefix();

    /** Parses the cordon of a data hall, or returns why its key names no hall. */
    Either<Unreadable, Cordon> cordon(StoreItem item);

    /** Returns why the value of a cordon is unreadable; empty if it is readable. The cordon is in force either way. */
    default Optional<Unreadable> cordonValueFault(StoreItem item) {
        return item.text().swap().toJavaOptional();
    }

    /** Returns the key prefix of the maintenance waves that operators request. */
    String wavePrefix();

    /** Parses a maintenance wave, or returns why it is unreadable. */
    Either<Unreadable, UpkeepWave> wave(StoreItem item);

    /** Returns the key under which operators read the status of a wave. */
    String waveStatusKey(long wave);

    /** Formats the status of a wave for operators. */
    String waveStatus(long wave, boolean completed);
}
