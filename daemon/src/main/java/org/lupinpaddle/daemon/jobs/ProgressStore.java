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

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.lupinpaddle.core.common.RecordCodec;
import org.lupinpaddle.core.job.JobKey;
import org.lupinpaddle.core.job.JobKeys;
import org.lupinpaddle.core.run.SchedulerPort.Saving;
import org.lupinpaddle.daemon.common.EventLoop;
import org.lupinpaddle.daemon.port.CommitResult;
import org.lupinpaddle.daemon.port.KeyValueStore;
import org.lupinpaddle.daemon.port.StoreCommit;

/**
 * Writes the progress of a service's jobs, on two conditions: that this owner still owns the service, and
 * that each record is the one last known. The second keeps a write that got no answer from replacing a newer
 * one when it is carried out late.
 */
final class ProgressStore {

    private final KeyValueStore store;
    private final EventLoop loop;
    private final String service;
    private final long fence;
    private final Map<JobKey, Long> revisions = new HashMap<>();

    /** What became of a write. */
    enum Outcome {
        /** The records are durable. */
        SAVED,
        /** They may not be; try again. */
        RETRY,
        /** Another entry owns the service. */
        NOT_OWNER
    }

    ProgressStore(KeyValueStore store, EventLoop loop, String service, long fence) {
        this.store = store;
        this.loop = loop;
        this.service = service;
        this.fence = fence;
    }

    /** Takes in the revision of a record that was read. */
    void known(JobKey job, long revision) {
        revisions.put(job, revision);
    }

    /** Writes the records; the outcome is told on the loop. */
    void save(List<Saving> batch, Consumer<Outcome> onEnd) {
        StoreCommit.Builder b = StoreCommit.builder().when(JobKeys.owner(service), fence);
        for (Saving s : batch) {
            String key = JobKeys.progress(service, s.job());
            b.when(key, revisions.getOrDefault(s.job(), 0L)).put(key, RecordCodec.write(s.progress()));
        }
        store.commit(b.build()).thenAcceptAsync(r -> onEnd.accept(outcome(batch, r)), loop::execute);
    }

    private Outcome outcome(List<Saving> batch, CommitResult r) {
        return switch (r.outcome()) {
            case MADE -> {
                batch.forEach(s -> revisions.put(s.job(), r.revision()));
                yield Outcome.SAVED;
            }
            case CONFLICT -> {
                batch.forEach(s -> revisions.put(s.job(), r.revisionOf(JobKeys.progress(service, s.job()))));
                yield r.revisionOf(JobKeys.owner(service)) == fence ? Outcome.RETRY : Outcome.NOT_OWNER;
            }
            case LEASE_ENDED, REFUSED, UNKNOWN -> Outcome.RETRY;
        };
    }

    /** Removes all records of jobs that ended long ago. What is not removed now is removed by a later owner. */
    void forget(List<JobKey> jobs) {
        StoreCommit.Builder b = StoreCommit.builder().when(JobKeys.owner(service), fence);
        for (JobKey job : jobs) {
            revisions.remove(job);
            b.remove(JobKeys.job(service, job));
            b.remove(JobKeys.cancel(service, job));
            b.remove(JobKeys.progress(service, job));
        }
        var unused = store.commit(b.build());
    }
}
