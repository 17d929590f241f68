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
package org.lupinpaddle.core.placement;

import java.util.Set;
import org.lupinpaddle.core.job.StepSpec;

/**
 * A request to place one task.
 *
 * @param step the step of the task
 * @param repetition the step repetition that the task belongs to
 * @param avoidWorkers workers on which the task has failed
 * @param excludeAvoidedWorkers whether those workers are currently excluded instead of only being less preferred
 * @param avoidDomains failure domains in which the task should preferably not be retried
 * @param colocation the tasks it should share a worker with
 * @param requireColocation whether workers that violate {@code colocation} are currently excluded
 * @param requireProvenWorker whether only workers whose last run succeeded are eligible
 */
public record PlacementRequest(
        StepSpec step,
        StepRepetition repetition,
        Set<String> avoidWorkers,
        boolean excludeAvoidedWorkers,
        Set<String> avoidDomains,
        Colocation colocation,
        boolean requireColocation,
        boolean requireProvenWorker) {}
