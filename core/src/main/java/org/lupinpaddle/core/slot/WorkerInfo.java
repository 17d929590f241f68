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
package org.lupinpaddle.core.slot;

/**
 * The properties of a worker that the slot owner uses.
 *
 * @param id the instance's id
 * @param hall the data hall of the instance
 * @param slots the number of requests that it can run at the same time
 * @param memoryMb its memory, in megabytes
 * @param usable whether every source reports that it accepts new work
 */
public record WorkerInfo(String id, String hall, int slots, int memoryMb, boolean usable) {}
