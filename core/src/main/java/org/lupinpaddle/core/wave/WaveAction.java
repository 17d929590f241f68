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

/** What the driver of a wave is to do. Each write is a compare-and-swap against the revision it was decided on. */
public sealed interface WaveAction {

    /** Write a service's ledger. */
    record PutService(ServiceRecord next, long expectedRevision) implements WaveAction {}

    /** Write a shard of instances. */
    record PutShard(String key, ShardRecord next, long expectedRevision) implements WaveAction {}

    /** Write the wave. */
    record PutWave(WaveRecord next, long expectedRevision) implements WaveAction {}

    /** Ask the platform for a step of maintenance on this incarnation, the fence being the shard's revision. */
    record Maintain(Step step, String instance, long incarnation, long fence) implements WaveAction {}

    /** The steps of maintenance. */
    enum Step {
        /** Refuse new work and finish what there is. */
        DRAIN,
        /** Take work again. */
        UNDRAIN,
        /** Restart. */
        REBOOT
    }
}
