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
 * How far a wave is, as the fleet's owner keeps it.
 *
 * @param begun the instances whose upkeep the platform has taken the order for, or that are not to have any
 * @param completed whether the operators have been told that the wave is done
 * @param seenMillis when an owner first saw the wave, in milliseconds since 1970: its time runs from there, whoever
 *     owns the fleet; null in a record of a version that did not keep it
 */
public record UpkeepRecord(
        List<String> begun, boolean completed, @Nullable Long seenMillis) {}
