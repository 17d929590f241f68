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
package org.lupinpaddle.core.capacity;

import java.util.List;
import java.util.Map;

/**
 * What the owner of a service tells the rest of the system, in one record that it writes when it changes.
 *
 * @param pendingByQueue accepted jobs of each queue none of whose tasks has begun; queues without any are left out
 * @param needed how many workers its present work asks for, all of it, looked a little ahead
 * @param firm how many its work asks for that can still end within its objective
 * @param late how many more its late work could use, as long as late ends count
 * @param workers what each of its workers carries
 */
public record ServiceReport(
        Map<String, Integer> pendingByQueue, int needed, int firm, int late, List<WorkerLoad> workers) {}
