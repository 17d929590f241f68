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
 * The operators ask for the upkeep of some instances.
 *
 * @param number names the wave
 * @param instances which instances
 * @param durationMillis in what time, from when it was asked for
 * @param maxDown how many may be down for it at one time
 */
public record UpkeepWave(long number, List<String> instances, long durationMillis, int maxDown) {}
