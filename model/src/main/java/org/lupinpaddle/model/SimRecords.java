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
package org.lupinpaddle.model;

import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.common.Unreadable;
import org.lupinpaddle.core.cordon.Cordon;
import org.lupinpaddle.core.placement.WorkerFacts;
import org.lupinpaddle.core.queue.JobConfiguration;
import org.lupinpaddle.core.upkeep.UpkeepWave;
import org.lupinpaddle.daemon.port.PlatformRecords;
import org.lupinpaddle.daemon.port.StoreItem;

/** Reads and writes the platform's records in the product's own JSON form. */
final class SimRecords implements PlatformRecords {

    private final Sabotage sabotage;
    private @Nullable Either<Unreadable, JobConfiguration> firstConfiguration;

    SimRecords(Sabotage sabotage) {
        this.sabotage = sabotage;
    }

    @Override
    public String configurationKey() {
        return World.CONFIGURATION;
    }

    @Override
    public String workerPrefix() {
        return World.WORKERS;
    }

    @Override
    public Either<Unreadable, JobConfiguration> configuration(StoreItem item) {
        Either<Unreadable, JobConfiguration> read = item.read(JobConfiguration.class);
        Either<Unreadable, JobConfiguration> previous = firstConfiguration;
        firstConfiguration = previous == null ? read : previous;
        return sabotage == Sabotage.CONFIGURATION_NOT_UPDATED ? firstConfiguration : read;
    }

    @Override
    public Either<Unreadable, WorkerFacts> worker(StoreItem item) {
        return item.read(WorkerFacts.class);
    }

    @Override
    public String operatorPrefix() {
        return World.OPERATORS;
    }

    @Override
    public String cordonPrefix() {
        return World.CORDONS;
    }

    @Override
    public Either<Unreadable, Cordon> cordon(StoreItem item) {
        return Either.right(new Cordon(item.key().substring(World.CORDONS.length()), item.revision()));
    }

    @Override
    public String wavePrefix() {
        return World.WAVES;
    }

    @Override
    public Either<Unreadable, UpkeepWave> wave(StoreItem item) {
        return item.read(UpkeepWave.class);
    }

    @Override
    public String waveStatusKey(long wave) {
        return World.WAVE_STATUS + wave;
    }

    @Override
    public String waveStatus(long wave, boolean completed) {
        return completed ? World.COMPLETED : "running";
    }
}
