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
package org.lupinpaddle.standins;

/**
 * The description that a worker stand-in reports to the platform.
 *
 * @param id the instance's id
 * @param hall the data hall
 * @param rack the rack
 * @param slots the number of requests that it runs concurrently
 * @param memoryMb its memory in megabytes
 */
public record WorkerPlace(String id, String hall, String rack, int slots, int memoryMb) {}
