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
import org.lupinpaddle.core.common.Unreadable;
import org.lupinpaddle.core.placement.WorkerFacts;
import org.lupinpaddle.core.queue.JobConfiguration;
import org.lupinpaddle.core.upkeep.UpkeepWave;

/** Where the records lie that the operators and the workers write to the store, and what they say. */
public interface PlatformRecords {

    /** Returns the key of the operators' configuration. */
    String configurationKey();

    /** Returns the prefix of the workers' own records. */
    String workerPrefix();

    /** Returns the configuration that the item holds, or what is wrong with it. */
    Either<Unreadable, JobConfiguration> configuration(StoreItem item);

    /** Returns what a worker says of itself, or what is wrong with it. */
    Either<Unreadable, WorkerFacts> worker(StoreItem item);

    /** Returns the prefix of the waves of upkeep that the operators ask for. */
    String wavePrefix();

    /** Returns the wave of upkeep that the item holds, or what is wrong with it. */
    Either<Unreadable, UpkeepWave> wave(StoreItem item);

    /** Returns the key under which the operators look for how a wave stands. */
    String waveStatusKey(long wave);

    /** Returns what the operators are told of a wave. */
    String waveStatus(long wave, boolean completed);
}
