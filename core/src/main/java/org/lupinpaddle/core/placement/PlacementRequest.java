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
 * What is to be placed.
 *
 * @param step the task's step
 * @param repetition names the step's tasks of one time
 * @param avoidWorkers workers on which the task has failed
 * @param excludeAvoidedWorkers whether those workers are out of the question for now
 * @param avoidDomains racks on which it had better not be tried again
 * @param colocation beside what it had better run
 * @param requireColocation whether other workers are out of the question for now
 * @param requireProvenWorker whether only workers come into question on which something has ended well
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
