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

/**
 * The load of a worker.
 *
 * @param worker the worker's id
 * @param lasting the number of long-running tasks, which run until they are cancelled
 * @param finite the number of tasks that end by themselves
 * @param reached whether it responds to its owner; an unreachable worker provides no capacity
 */
public record WorkerLoad(String worker, int lasting, int finite, boolean reached) {}
