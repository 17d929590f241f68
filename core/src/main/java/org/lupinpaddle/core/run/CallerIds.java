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
package org.lupinpaddle.core.run;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.job.JobKey;

/**
 * The caller ids of a service's jobs. Workers name tasks by the id without the queue, so of several jobs with the same id
 * only the holder may run; the others follow once it has been forgotten. No such job is accepted any more, but earlier
 * releases have accepted some.
 */
final class CallerIds {

    private final Map<String, JobKey> holders = new HashMap<>();
    /** Jobs whose id another job holds, in the order in which they follow it. */
    private final Map<String, List<JobKey>> waiting = new HashMap<>();

    /** Adds a job behind those with the same id. */
    void addLast(JobKey job) {
        JobKey holder = holders.putIfAbsent(job.id(), job);
        if (holder != null && !holder.equals(job)) {
            waiting.computeIfAbsent(job.id(), id -> new ArrayList<>()).add(job);
        }
    }

    /** Adds a job before those with the same id. */
    void addFirst(JobKey job) {
        JobKey holder = holders.put(job.id(), job);
        if (holder != null && !holder.equals(job)) {
            waiting.computeIfAbsent(job.id(), id -> new ArrayList<>()).add(0, holder);
        }
    }

    /** Returns the job that workers refer to by this id, or null. */
    @Nullable
    JobKey holder(String id) {
        return holders.get(id);
    }

    /** Removes a job; if it held its id, the next one holds it. */
    void remove(JobKey job) {
        List<JobKey> next = waiting.getOrDefault(job.id(), new ArrayList<>());
        if (!next.remove(job) && job.equals(holders.get(job.id()))) {
            if (next.isEmpty()) {
                holders.remove(job.id());
            } else {
                holders.put(job.id(), next.remove(0));
            }
        }
        if (next.isEmpty()) {
            waiting.remove(job.id());
        }
    }
}
