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
package org.lupinpaddle.core.queue;

import org.lupinpaddle.core.job.Policy;

/**
 * The configuration of a queue, to which callers submit jobs.
 *
 * @param name the queue's name
 * @param host the host that requests for the queue name
 * @param pathPrefix the prefix of the request path, which a job's id follows
 * @param service the service whose workers run the jobs
 * @param policy the scheduling policy of the jobs
 * @param requiresKey whether requests must carry the API key of a workspace
 */
public record QueueConfig(
        String name, String host, String pathPrefix, String service, Policy policy, boolean requiresKey) {

    /** Creates a queue that requires no key. */
    public QueueConfig(String name, String host, String pathPrefix, String service, Policy policy) {
        this(name, host, pathPrefix, service, policy, false);
    }
}
