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
package org.lupinpaddle.core.wave;

import org.lupinpaddle.core.instance.ShardRecord;
import org.lupinpaddle.core.service.ServiceRecord;

/**
 * An action for a wave's driver. Each write is a compare-and-swap against the revision that the decision was
 * based on.
 */
public sealed interface WaveAction {

    /** Writes the record of a service. */
    record PutService(ServiceRecord next, long expectedRevision) implements WaveAction {}

    /** Writes a shard of instances. */
    record PutShard(String key, ShardRecord next, long expectedRevision) implements WaveAction {}

    /** Writes the record of the wave. */
    record PutWave(WaveRecord next, long expectedRevision) implements WaveAction {}

    /**
     * Requests a maintenance step for this incarnation of a worker. The fence is the revision of the instance's
     * shard.
     */
    record Maintain(Step step, String instance, long incarnation, long fence) implements WaveAction {}

    /** The maintenance steps of an instance. */
    enum Step {
        /** Refuses new work and completes running work. */
        DRAIN,
        /** Accepts work again. */
        UNDRAIN,
        /** Restarts the instance. */
        REBOOT
    }
}
