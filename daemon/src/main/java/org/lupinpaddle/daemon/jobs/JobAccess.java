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
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.common.Unreadable;
import org.lupinpaddle.core.job.JobKey;
import org.lupinpaddle.core.job.JobProgress;
import org.lupinpaddle.core.job.JobSpec;
import org.lupinpaddle.core.job.SchedulerKeys;
import org.lupinpaddle.core.queue.Admission;
import org.lupinpaddle.daemon.jobs.JobLocator.LocatedJob;
import org.lupinpaddle.daemon.port.KeyValueStore;

/** Whether a caller may access an existing job. */
enum JobAccess {
    ACCESSIBLE(SubmitOutcome.ACCEPTED),
    OTHER_WORKSPACE(SubmitOutcome.ID_TAKEN),
    /** The job's workspace cannot be determined because its records are unreadable or missing. */
    UNKNOWN(SubmitOutcome.UNKNOWN);

    private final SubmitOutcome submitOutcome;

    JobAccess(SubmitOutcome submitOutcome) {
        this.submitOutcome = submitOutcome;
    }

    /** Returns the answer to a submission that reuses the job's id. */
    SubmitOutcome submitOutcome() {
        return submitOutcome;
    }

    private static JobAccess of(Admission a, @Nullable String workspace) {
        return a.canAccess(workspace) ? ACCESSIBLE : OTHER_WORKSPACE;
    }

    /** Reads the workspace from the job's progress if its record, which is reduced after its end, does not name it. */
    static CompletableFuture<JobAccess> read(KeyValueStore store, Admission a, JobKey key, LocatedJob job) {
        if (!a.usesKey()) {
            return CompletableFuture.completedFuture(ACCESSIBLE);
        }
        Either<Unreadable, JobSpec> spec = job.item().read(JobSpec.class);
        if (spec.isRight()) {
            return CompletableFuture.completedFuture(of(a, spec.get().workspace()));
        }
        return store.read(SchedulerKeys.progress(job.service(), key))
                .thenApply(p -> p.map(i -> i.read(JobProgress.class)
                                .fold(unreadable -> UNKNOWN, progress -> of(a, progress.workspace())))
                        .orElse(UNKNOWN));
    }
}
