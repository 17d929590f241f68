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

import org.lupinpaddle.core.workspace.Workspaces;

/**
 * The workspaces of the configuration that is known to this entry.
 *
 * @param key the key of the configuration in the store
 * @param revision the revision of the configuration
 * @param confirmed whether the configuration watch works, so that this entry soon learns of a newer configuration
 * @param workspaces the workspaces
 */
record ActiveWorkspaces(String key, long revision, boolean confirmed, Workspaces workspaces) {}
