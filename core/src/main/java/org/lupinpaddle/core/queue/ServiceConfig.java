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

/**
 * The configuration of a service, which is a pool of instances.
 *
 * @param name the service's name
 * @param headroom whether it is the reserve pool, whose instances are off and are moved to other services
 * @param guardsRoom whether its workers refuse tasks that exceed their capacity
 * @param coldStartsPerSecond the maximum number of tasks started per second on a worker that is cold; 0 for no limit
 */
public record ServiceConfig(String name, boolean headroom, boolean guardsRoom, double coldStartsPerSecond) {

    /** Creates the configuration of a service without a limit on starts on cold workers. */
    public ServiceConfig(String name, boolean headroom, boolean guardsRoom) {
        this(name, headroom, guardsRoom, 0);
    }
}
