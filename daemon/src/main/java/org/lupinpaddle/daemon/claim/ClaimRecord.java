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
package org.lupinpaddle.daemon.claim;

/**
 * The claim of one try on a job that is not safe to repeat.
 *
 * @param writeId the id of the try
 * @param entry the entry that made the claim
 * @param notRun whether the holder has declared that it sent nothing to a worker and will send nothing
 */
public record ClaimRecord(String writeId, String entry, boolean notRun) {

    /** Returns this claim marked as not run. */
    public ClaimRecord released() {
        return new ClaimRecord(writeId, entry, true);
    }
}
