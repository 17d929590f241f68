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
package org.lupinpaddle.daemon.slot;

import java.util.function.Consumer;
import org.lupinpaddle.core.request.AttemptOutcome;

/** A simulated worker: runs jobs in its slots, refuses jobs when all are taken and fails according to its behaviour. */
final class SimWorker {

    enum Behaviour {
        HEALTHY,
        /** Fails every job after one millisecond. */
        FAILS_FAST,
        /** Fails every job after its normal run time. */
        FAILS_SLOWLY
    }

    static final int SLOTS = 8;

    final String id;
    final String hall;
    Behaviour behaviour = Behaviour.HEALTHY;
    long busyMillis;
    private final SimTime time;
    private int running;

    SimWorker(String id, String hall, SimTime time) {
        this.id = id;
        this.hall = hall;
        this.time = time;
    }

    void run(SimJob job, Consumer<AttemptOutcome> onEnd) {
        if (running >= SLOTS) {
            onEnd.accept(AttemptOutcome.REFUSED_FULL);
            return;
        }
        running++;
        long durationMillis = behaviour == Behaviour.FAILS_FAST || job.poison ? 1 : job.runMillis;
        boolean success = behaviour == Behaviour.HEALTHY && !job.poison;
        time.after(durationMillis, () -> {
            running--;
            busyMillis += success ? durationMillis : 0;
            onEnd.accept(success ? AttemptOutcome.ANSWERED : AttemptOutcome.FAILED);
        });
    }
}
