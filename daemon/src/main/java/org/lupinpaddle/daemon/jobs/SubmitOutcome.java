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
package org.lupinpaddle.daemon.jobs;

/** The outcome of a submission, as reported to the caller. */
public enum SubmitOutcome {
    /** The job is stored durably. */
    ACCEPTED,
    /** The queue does not exist. */
    NO_QUEUE,
    /** The queue requires a key, and the request has no valid one. */
    UNKNOWN_KEY,
    /** The id is already in use in this queue by a job of another workspace. */
    ID_TAKEN,
    /** The id is already in use in this service by a job of another queue. The job was not accepted. */
    ID_IN_OTHER_QUEUE,
    /** The id was cancelled by its caller while no job had it. The job was not accepted and will never run. */
    CANCELLED,
    /** The job was not accepted and this call will not store it later; the caller should retry. */
    NOT_TAKEN,
    /** All data halls are cordoned. The job was not accepted and this call did not write anything. */
    ALL_HALLS_CORDONED,
    /** All entries hold as many jobs as fit into memory. The job was not accepted and this call did not write anything. */
    TOO_MANY_JOBS,
    /** The store did not report whether the job is stored. Submitting the same id again is safe. */
    UNKNOWN
}
