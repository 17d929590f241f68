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
package org.lupinpaddle.core.upkeep;

import java.util.List;

/**
 * An operator's request for the upkeep of a set of instances.
 *
 * @param number the number that identifies the wave
 * @param instances the instances to maintain
 * @param durationMillis the time within which the wave should complete, from the request
 * @param maxDown the maximum number of instances that may be down for it at the same time
 */
public record UpkeepWave(long number, List<String> instances, long durationMillis, int maxDown) {}
