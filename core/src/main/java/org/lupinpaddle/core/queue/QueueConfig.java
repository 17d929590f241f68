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
 * One queue: where callers hand jobs in, and whose workers run them.
 *
 * @param name the queue's name
 * @param host the host that callers name
 * @param pathPrefix the beginning of the path that callers name; a job's id follows it
 * @param service whose workers run the jobs
 * @param policy what the jobs are due
 * @param requiresKey whether requests must carry the API key of a workspace
 */
public record QueueConfig(
        String name, String host, String pathPrefix, String service, Policy policy, boolean requiresKey) {

    /** Creates a queue that requires no key. */
    public QueueConfig(String name, String host, String pathPrefix, String service, Policy policy) {
        this(name, host, pathPrefix, service, policy, false);
    }
}
