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

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.job.JobSpec;
import org.lupinpaddle.core.job.Policy;
import org.lupinpaddle.core.queue.JobConfiguration;
import org.lupinpaddle.core.queue.QueueConfig;

/**
 * The scheduling policies in force. The newest configuration applies to all jobs of a queue, also to those that were
 * accepted before. A job of a queue that has left the configuration keeps the policy that it was accepted with.
 */
final class QueuePolicies {

    private @Nullable JobConfiguration configuration;
    private final Map<String, Policy> configured = new HashMap<>();
    /** Queues whose starts workers reject without a ticket, though the known configuration requires none. */
    private final Set<String> requiringTickets = new HashSet<>();

    /** Takes over a configuration, and returns whether it is another one than before. */
    @SuppressWarnings("ReferenceEquality") // A configuration is read once and compared in each tick.
    boolean update(JobConfiguration newest) {
        if (newest == configuration) {
            return false;
        }
        configuration = newest;
        configured.clear();
        for (QueueConfig q : newest.queues()) {
            configured.put(q.name(), q.policy());
        }
        requiringTickets.clear();
        return true;
    }

    /**
     * Records that a worker has rejected a start without a ticket. Workers may know a newer configuration, or still
     * apply an older one.
     */
    void requireTickets(String queue) {
        requiringTickets.add(queue);
    }

    /** Returns the policy that applies to a job now. */
    Policy of(JobSpec job) {
        String queue = job.key().queue();
        Policy policy = configured.getOrDefault(queue, job.policy());
        return requiringTickets.contains(queue) ? policy.withAdvice() : policy;
    }
}
