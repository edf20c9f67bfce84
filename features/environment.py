def after_scenario(context, scenario):
    deployment = getattr(context, 'deployment', None)
    if deployment is not None:
        deployment.stop()
