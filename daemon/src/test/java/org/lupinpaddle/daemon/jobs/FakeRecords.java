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
package org.lupinpaddle.daemon.jobs;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.Map;
import org.lupinpaddle.core.common.Unreadable;
import org.lupinpaddle.core.cordon.Cordon;
import org.lupinpaddle.core.placement.WorkerFacts;
import org.lupinpaddle.core.queue.JobConfiguration;
import org.lupinpaddle.core.upkeep.UpkeepWave;
import org.lupinpaddle.daemon.port.PlatformRecords;
import org.lupinpaddle.daemon.port.StoreItem;

/** Locates and parses platform records that tests write in the format of the stored records. */
final class FakeRecords implements PlatformRecords {

    static final String CONFIGURATION = "operator/configuration";
    static final String CORDONS = "operator/cordon/";

    /** What happens before the record of a worker under a key is read. */
    final Map<String, Runnable> faults = new HashMap<>();

    @Override
    public String configurationKey() {
        return CONFIGURATION;
    }

    @Override
    public String workerPrefix() {
        return "worker/";
    }

    @Override
    public Either<Unreadable, JobConfiguration> configuration(StoreItem item) {
        return item.read(JobConfiguration.class);
    }

    @Override
    public Either<Unreadable, WorkerFacts> worker(StoreItem item) {
        faults.getOrDefault(item.key(), () -> {}).run();
        return item.read(WorkerFacts.class);
    }

    @Override
    public String operatorPrefix() {
        return "operator/";
    }

    @Override
    public String cordonPrefix() {
        return CORDONS;
    }

    @Override
    public Either<Unreadable, Cordon> cordon(StoreItem item) {
        String hall = item.key().substring(CORDONS.length());
        return hall.isEmpty()
                ? Either.left(Unreadable.Reason.NOT_OF_ITS_KEY.in("key"))
                : Either.right(new Cordon(hall, item.revision()));
    }

    @Override
    public String wavePrefix() {
        return "wave/";
    }

    @Override
    public Either<Unreadable, UpkeepWave> wave(StoreItem item) {
        return item.read(UpkeepWave.class);
    }

    @Override
    public String waveStatusKey(long wave) {
        return "status/" + wave;
    }

    @Override
    public String waveStatus(long wave, boolean completed) {
        return completed ? "completed" : "running";
    }
}
