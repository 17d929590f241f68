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
import org.jspecify.annotations.Nullable;

/**
 * The progress of a wave as stored by the fleet's owner.
 *
 * @param begun the instances whose upkeep order the platform has accepted, or that are not to be maintained
 * @param completed whether the completion of the wave has been reported to the operators
 * @param seenMillis when any owner first saw the wave, in milliseconds since 1970. The duration of the wave
 *     counts from then, across changes of owner; null in records of older versions without this field
 */
public record UpkeepRecord(
        List<String> begun, boolean completed, @Nullable Long seenMillis) {}
