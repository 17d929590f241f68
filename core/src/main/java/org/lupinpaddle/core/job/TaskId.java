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
package org.lupinpaddle.core.job;

/**
 * Identifies a task within its job.
 *
 * @param time the index of the repetition, from 0
 * @param step the index of the step, from 0
 * @param index the index of the task within the step, from 0
 */
public record TaskId(int time, int step, int index) {

    /** Returns the three indexes, separated by dots. */
    @Override
    public String toString() {
        return time + "." + step + "." + index;
    }
}
