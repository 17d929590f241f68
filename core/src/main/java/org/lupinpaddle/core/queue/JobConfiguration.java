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

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.lupinpaddle.core.workspace.Workspaces;

/**
 * The complete configuration of queues and services, as set by the operators.
 *
 * @param version the version number assigned by the operators
 * @param queues all queues
 * @param services all services
 * @param bodyBytes the maximum size of a request body, in bytes
 * @param workspaces the workspaces that share the fleet
 */
public record JobConfiguration(
        long version, List<QueueConfig> queues, List<ServiceConfig> services, int bodyBytes, Workspaces workspaces) {

    /** Creates a configuration without workspaces. */
    public JobConfiguration(long version, List<QueueConfig> queues, List<ServiceConfig> services, int bodyBytes) {
        this(version, queues, services, bodyBytes, Workspaces.NONE);
    }

    /** Returns this configuration with rejected workspaces replaced by their {@code previous} versions. */
    public JobConfiguration withFallback(Workspaces previous) {
        return new JobConfiguration(version, queues, services, bodyBytes, workspaces.withFallback(previous));
    }

    /** Decides whether a request is admitted. */
    public Admission admit(CallerRequest r) {
        QueueConfig q = queueFor(r.host(), r.path()).orElse(null);
        if (q == null) {
            return Admission.NO_QUEUE;
        }
        if (!q.requiresKey()) {
            return new Admission(Admission.Outcome.ADMITTED, q, null);
        }
        return workspaces
                .findByKey(r.key())
                .map(w -> new Admission(Admission.Outcome.ADMITTED, q, w.name()))
                .orElse(Admission.UNKNOWN_KEY);
    }

    /** Returns the queue with this host and the longest path prefix with which the path begins. */
    public Optional<QueueConfig> queueFor(String host, String path) {
        return queues.stream()
                .filter(q -> q.host().equals(host) && path.startsWith(q.pathPrefix()))
                .max(Comparator.comparingInt(q -> q.pathPrefix().length()));
    }

    /** Returns the service with this name. */
    public Optional<ServiceConfig> service(String name) {
        return services.stream().filter(s -> s.name().equals(name)).findFirst();
    }

    /** Returns the services whose workers may run jobs. */
    public List<String> runningServices() {
        return services.stream()
                .filter(s -> !s.headroom())
                .map(ServiceConfig::name)
                .toList();
    }
}
